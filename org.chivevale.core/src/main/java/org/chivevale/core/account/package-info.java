/** Client accounts and their keys. */
package org.chivevale.core.account;
