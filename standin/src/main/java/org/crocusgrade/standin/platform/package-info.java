/** The state behind the stand-in of the platform's key-value service. */
package org.crocusgrade.standin.platform;
