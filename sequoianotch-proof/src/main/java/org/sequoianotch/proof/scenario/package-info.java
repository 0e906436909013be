/**
 * The scenario language: deployments of real node processes, steps that bring about failures, and checks from outside.
 */
@NullMarked
package org.sequoianotch.proof.scenario;

import org.jspecify.annotations.NullMarked;
