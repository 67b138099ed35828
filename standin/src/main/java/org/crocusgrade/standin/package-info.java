/** Small servers that take the place of the platform and the workers in tests and trials. */
package org.crocusgrade.standin;
