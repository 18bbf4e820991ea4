/** Callers that send load and record what they saw. */
package org.chivevale.load.run;
