/** Settings files. */
package org.chivevale.core.settings;
