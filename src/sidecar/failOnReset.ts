import type { Socket } from 'node:net';
import { PassThrough, type Readable } from 'node:stream';
import { FleetError } from '../api/index.js';

/** Servers skip an empty line before a request (RFC 9112, section 2.2). */
const emptyRequestLine = '\r\n';

/**
 * Resolves to whether a connection was closed rather than reset. libuv reports a reset that arrives together with
 * data as a normal end; a write then fails, whereas it succeeds on a connection that the peer closed.
 */
function isClosedCleanly(socket: Socket): Promise<boolean> {
  return new Promise((resolve) => {
    // Runs before the listener of node:net that forbids writing after the end.
    socket.prependOnceListener('end', () => {
      socket.write(emptyRequestLine, (error) => resolve(error === undefined || error === null));
    });
    socket.once('error', () => resolve(false));
    socket.once('close', (hasError) => resolve(!hasError));
  });
}

/** Body of a response that is delimited by the end of its connection; fails if the connection was reset. */
export function failOnReset(source: Readable, socket: Socket): Readable {
  const isClean = isClosedCleanly(socket);
  const body = new PassThrough();
  source.on('error', (error) => body.destroy(error));
  source.once('end', () => {
    void isClean.then((isClosed) => {
      if (isClosed) body.end();
      else body.destroy(new FleetError('the response was truncated', { step: 'target.body' }));
    });
  });
  body.once('close', () => source.destroy());
  source.pipe(body, { end: false });
  return body;
}
