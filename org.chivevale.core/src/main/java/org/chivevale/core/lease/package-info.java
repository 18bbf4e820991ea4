/** The fleet lease: grantor and holder. */
package org.chivevale.core.lease;
