import type { SilenceReason } from '../../common/fleet/ResponseWatch.js';

const messages: Readonly<Record<SilenceReason, string>> = {
  'connection-lost': 'the connection is silent, but the daemon responds on a new one',
  'daemon-unreachable': 'the daemon responds neither on an open connection nor on a new one',
  timeout: 'the daemon did not respond in time',
};

/** An exchange was ended because the daemon sent nothing. */
export class SilenceError extends Error {
  public constructor(public readonly reason: SilenceReason) {
    super(messages[reason]);
  }
}
