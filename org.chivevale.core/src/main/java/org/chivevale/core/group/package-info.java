/** Database groups, endpoints and log positions. */
package org.chivevale.core.group;
