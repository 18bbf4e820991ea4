/** Histories of what callers saw, and the search for broken promises in them. */
package org.chivevale.load.check;
