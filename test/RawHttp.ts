import { connect } from 'node:net';
import { once } from 'node:events';

/** Sends bytes over a new connection and returns everything received until the peer closes it. */
export async function sendRaw(port: number, text: string): Promise<string> {
  const socket = connect(port, '127.0.0.1');
  await once(socket, 'connect');
  const chunks: Buffer[] = [];
  socket.on('data', (chunk: Buffer) => chunks.push(chunk));
  socket.on('error', () => {});
  socket.write(text);
  await once(socket, 'close');
  return Buffer.concat(chunks).toString('latin1');
}

/** Status code of an HTTP/1.1 response, or 0 if there is none. */
export function statusOf(response: string): number {
  return Number(/^HTTP\/1\.1 (\d{3})/.exec(response)?.[1] ?? 0);
}
