/** What control costs as the fleet grows. */
package org.chivevale.load.slopes;
