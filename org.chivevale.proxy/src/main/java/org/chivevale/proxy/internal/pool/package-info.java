/** Connection pools to endpoints, within the shares that control grants. */
package org.chivevale.proxy.internal.pool;
