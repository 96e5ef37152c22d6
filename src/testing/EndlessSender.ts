import type { Socket } from 'node:net';

/** Bytes of one write; above the buffer limit of a socket, so that each write waits for the previous one. */
const writeSize = 64 * 1024;
/** Bytes after which a sender that is still read stops, so that a test of an unlimited reader ends. */
const maxSentBytes = 128 * 1024 * 1024;
/** Bytes that a limited reader takes at most; most of them are in socket buffers that were never read. */
const maxTakenBytes = 64 * 1024 * 1024;

/** Writes bytes without end to a connection and counts those that the peer took. */
export class EndlessSender {
  private taken = 0;

  /** Whether the peer read less than an unlimited reader would. */
  public get isBounded(): boolean {
    return this.taken < maxTakenBytes;
  }

  /** Sends `start` once and then repeats `piece` until the connection closes. */
  public send(socket: Socket, start: string, piece: string): void {
    const chunk = Buffer.from(piece.repeat(Math.ceil(writeSize / piece.length)), 'latin1');
    const repeat = (): void => {
      if (socket.destroyed || this.taken >= maxSentBytes) return;
      socket.write(chunk, (error) => {
        if (error) return;
        this.taken += chunk.length;
        setImmediate(repeat);
      });
    };
    socket.write(start, 'latin1');
    repeat();
  }
}
