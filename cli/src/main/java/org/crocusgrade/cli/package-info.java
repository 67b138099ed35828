/** The operators' command line. */
package org.crocusgrade.cli;
