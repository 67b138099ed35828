/** The state behind the stand-in of the platform's host list and host control. */
package org.crocusgrade.standin.hosts;
