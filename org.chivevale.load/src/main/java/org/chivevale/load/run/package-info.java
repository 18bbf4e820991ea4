/** Load generator: callers that send requests and record the results. */
package org.chivevale.load.run;
