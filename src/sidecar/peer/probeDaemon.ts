import { request as startRequest } from 'node:http';
import type { Clock } from '../../api/index.js';

/** Marks a request that only checks whether the daemon responds. */
export const checkHeader = 'lt-check';

/**
 * Requests a response of the daemon at `host:port` on a new connection. Any response will do, since earlier builds reject
 * the request. Rejects if the connection fails or no response starts within `timeout` milliseconds.
 */
export function probeDaemon(address: string, timeout: number, clock: Clock): Promise<void> {
  const [host = '', port = ''] = address.split(/:(?=\d+$)/);
  return new Promise((resolve, reject) => {
    // The response is not lost to a close of the daemon's side that overtakes it.
    const headers = { [checkHeader]: '1', connection: 'keep-alive' };
    const request = startRequest({ agent: false, host, port, method: 'HEAD', path: '/', headers });
    const timer = clock.after(timeout, () => {
      request.destroy(new Error('no response on a new connection'));
    });
    request.once('response', () => {
      resolve();
      request.destroy();
    });
    request.on('error', reject);
    request.once('close', () => {
      timer.dispose();
      reject(new Error('the connection was closed without a response'));
    });
    request.end();
  });
}
