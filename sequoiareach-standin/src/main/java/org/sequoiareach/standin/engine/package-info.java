/**
 * Simulates an inference engine behind an OpenAI-compatible HTTP API.
 *
 * <p>{@link org.sequoiareach.standin.engine.EngineStandin} serves the API. An {@code
 * EngineSimulator} computes batching, KV cache use and preemption as a function of time, and an
 * {@code EngineRunner} runs it in real time.
 */
package org.sequoiareach.standin.engine;
