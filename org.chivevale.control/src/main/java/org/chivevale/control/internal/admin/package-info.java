/** The administration API. */
package org.chivevale.control.internal.admin;
