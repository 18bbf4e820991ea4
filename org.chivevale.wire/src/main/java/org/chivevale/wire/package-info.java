/** Framing between the processes of chivevale: length-prefixed protobuf messages over Netty. */
package org.chivevale.wire;
