/**
 * Scenario language for whole-system tests: deployments of real node processes, steps that inject failures, and checks
 * of externally visible behaviour.
 */
@NullMarked
package org.sequoianotch.proof.scenario;

import org.jspecify.annotations.NullMarked;
