/** Submissions as immutable data: graphs of steps that consist of many tasks each. */
package org.crocusgrade.core.submission;
