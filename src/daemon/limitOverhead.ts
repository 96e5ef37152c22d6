import type { ClientRequest, IncomingMessage } from 'node:http';
import type { Socket } from 'node:net';
import { FleetError } from '../api/index.js';

/** Bytes of interim responses, the head and framing that are read beyond those that a body allows. */
const maxOverheadBytes = 64 * 1024;
/** Bytes read per byte of the body; a chunk of one byte takes six. */
const maxBytesPerBodyByte = 16;

/**
 * Destroys a request whose connection sends bytes that are no part of a response or its body, which the HTTP parser
 * reads without limit: empty lines, interim responses, spaces before a header value, and zeros of a chunk size.
 */
export function limitOverhead(request: ClientRequest): void {
  let response: IncomingMessage | undefined;
  let consumedBytes = 0;
  request.once('response', (received) => {
    response = received;
    // A stream that was paused explicitly does not start to flow when a listener is added.
    received.pause();
    received.on('data', (chunk: Buffer) => {
      consumedBytes += chunk.length;
    });
  });
  request.once('socket', (socket: Socket) => {
    const bytesBefore = socket.bytesRead;
    const check = (): void => {
      const bodyBytes = consumedBytes + (response?.readableLength ?? 0);
      const limit = maxOverheadBytes + maxBytesPerBodyByte * bodyBytes;
      if (socket.bytesRead - bytesBefore <= limit) return;
      const origin = { step: 'target.answer' };
      request.destroy(new FleetError('the connection sends bytes without a response', origin));
    };
    socket.on('data', check);
    request.once('close', () => socket.off('data', check));
  });
}
