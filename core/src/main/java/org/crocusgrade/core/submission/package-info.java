/** What callers submit: graphs of steps with many tasks each, as immutable data. */
package org.crocusgrade.core.submission;
