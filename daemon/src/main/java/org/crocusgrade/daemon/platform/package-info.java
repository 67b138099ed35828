/** HTTP clients of the platform's key-value service and host list. */
package org.crocusgrade.daemon.platform;
