import type { ServerResponse } from 'node:http';
import type { LogSink } from '../api/index.js';

/**
 * Runs the handler of a request. An error that the handler did not catch closes the connection of that request; as an
 * unhandled rejection it would end the process and with it the requests of all other callers.
 */
export async function runGuarded(
  response: ServerResponse,
  log: LogSink,
  step: string,
  handle: () => Promise<void>,
): Promise<void> {
  try {
    await handle();
  } catch (error) {
    log.write({
      level: 'error',
      kind: 'refusal',
      message: 'closed the connection of a request whose handling failed',
      fields: { step, error: error instanceof Error ? error.stack : String(error) },
    });
    response.destroy();
  }
}
