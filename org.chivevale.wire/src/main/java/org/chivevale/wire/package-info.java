/** Frames between the processes of chivevale: protobuf messages over Netty. */
package org.chivevale.wire;
