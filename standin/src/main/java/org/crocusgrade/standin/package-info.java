/** Stand-in servers that replace the platform's services and the workers in tests and trials. */
package org.crocusgrade.standin;
