import type { Socket } from 'node:net';
import { PassThrough, type Readable } from 'node:stream';
import { FleetError } from '../api/index.js';

/** Servers skip an empty line before a request (RFC 9112, section 2.2). */
const emptyLine = '\r\n';

/**
 * Tells whether a connection that ends was closed and not reset. libuv reports a reset that arrives together with
 * data as a plain end; a write then still fails, as it does not on a connection that the peer has closed.
 */
function watchEnd(socket: Socket): Promise<boolean> {
  return new Promise((resolve) => {
    // Goes before the listener of node:net that forbids writing after the end.
    socket.prependOnceListener('end', () => {
      socket.write(emptyLine, (error) => resolve(error === undefined || error === null));
    });
    socket.once('error', () => resolve(false));
    socket.once('close', (hasError) => resolve(!hasError));
  });
}

/** Body of an answer that ends with its connection; it fails if that was reset. */
export function failOnReset(source: Readable, socket: Socket): Readable {
  const isClean = watchEnd(socket);
  const body = new PassThrough();
  source.on('error', (error) => body.destroy(error));
  source.once('end', () => {
    void isClean.then((isProper) => {
      if (isProper) body.end();
      else body.destroy(new FleetError('the answer was cut', { step: 'target.body' }));
    });
  });
  body.once('close', () => source.destroy());
  source.pipe(body, { end: false });
  return body;
}
