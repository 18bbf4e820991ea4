/** Reading, running and answering requests. */
package org.chivevale.proxy.internal.request;
