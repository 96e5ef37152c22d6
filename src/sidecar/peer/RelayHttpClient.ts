import { Agent, request as startRequest, type IncomingMessage } from 'node:http';
import { FleetError, type DaemonId, type Disposable } from '../../api/index.js';
import { RevisionCompactedError } from '../../common/fleet/errors.js';
import type {
  Aged,
  RelayClient,
  RelayPoll,
  StoreChanges,
  StoreSnapshot,
} from '../../common/fleet/Types.js';
import { readLimited } from '../../daemon/streams.js';
import {
  ageHeader,
  compactedStatus,
  decodeChanges,
  decodeSnapshot,
  relayHeader,
  relayPaths,
} from './relayMessages.js';

/** Milliseconds beyond the wait after which a daemon of this data centre does not respond. */
const responseTimeout = 500;
/** Milliseconds beyond the timeout after which a response that still arrives is given up. */
const maxTransferTime = 15_000;
/** Milliseconds for which an idle connection is kept; shorter than `HomeServer` keeps it. */
const idleTimeout = 20_000;
/** Maximum bytes of a compressed response. */
const maxResponseBytes = 4 * 1024 * 1024;

interface Call {
  readonly daemon: DaemonId;
  readonly path: string;
  readonly query: Readonly<Record<string, string | number>>;
  /** Milliseconds without a sign of life until the call fails. */
  readonly timeout: number;
  readonly signal: AbortSignal;
  /** Called when the relay says that it receives a newer state, and for each part of its response. */
  readonly onProgress: () => void;
}

/** Follows the store through other daemons over HTTP/1.1. */
export class RelayHttpClient implements RelayClient, Disposable {
  private readonly agent = new Agent({ keepAlive: true, timeout: idleTimeout });

  /** `addressOf` returns `host:port` of a daemon, or undefined if it is unknown. */
  public constructor(private readonly addressOf: (daemon: DaemonId) => string | undefined) {}

  public async snapshot(
    daemon: DaemonId,
    prefix: string,
    signal: AbortSignal,
    onProgress: () => void,
  ): Promise<Aged<StoreSnapshot>> {
    const { content, age } = await this.call({
      daemon,
      path: relayPaths.snapshot,
      query: { prefix },
      timeout: responseTimeout,
      signal,
      onProgress,
    });
    return { ...(await decodeSnapshot(content)), age };
  }

  public async changes(
    daemon: DaemonId,
    prefix: string,
    poll: RelayPoll,
    signal: AbortSignal,
    onProgress: () => void,
  ): Promise<Aged<StoreChanges>> {
    const { content, age } = await this.call({
      daemon,
      path: relayPaths.changes,
      query: {
        prefix,
        after: poll.after.revision,
        epoch: poll.after.epoch,
        wait: poll.wait,
        age: Math.round(poll.age),
        keys: 1,
        ...(poll.isFollower ? {} : { backup: 1 }),
      },
      timeout: poll.wait + responseTimeout,
      signal,
      onProgress,
    });
    return { ...(await decodeChanges(content)), age };
  }

  public dispose(): void {
    this.agent.destroy();
  }

  private async call(call: Call): Promise<{ readonly content: Buffer; readonly age: number }> {
    const { daemon } = call;
    const origin = { step: 'fleet.relay', peer: daemon };
    const silence = new AbortController();
    const end = (): void => silence.abort(new Error('no sign of life of the relay'));
    let timer = setTimeout(end, call.timeout);
    const recordProgress = (): void => {
      clearTimeout(timer);
      timer = setTimeout(end, responseTimeout);
      call.onProgress();
    };
    const limit = AbortSignal.timeout(call.timeout + maxTransferTime);
    const signal = AbortSignal.any([limit, silence.signal, call.signal]);
    try {
      const response = await this.send(call, signal, recordProgress);
      const content = await readLimited(response, maxResponseBytes, recordProgress);
      if (response.statusCode === compactedStatus) {
        throw new RevisionCompactedError(
          'the relay starts at a later revision',
          'not-applied',
          origin,
        );
      }
      const age = Number(response.headers[ageHeader] ?? NaN);
      if (response.statusCode !== 200 || !(age >= 0)) {
        throw new FleetError(`the relay answered ${response.statusCode}`, origin);
      }
      return { content, age };
    } catch (cause) {
      if (cause instanceof FleetError) throw cause;
      throw new FleetError('the relay did not respond', { ...origin, cause });
    } finally {
      clearTimeout(timer);
    }
  }

  private send(
    { daemon, path, query }: Call,
    signal: AbortSignal,
    onProgress: () => void,
  ): Promise<IncomingMessage> {
    const address = this.addressOf(daemon);
    if (address === undefined) throw new FleetError('unknown daemon', { step: 'fleet.relay' });
    const [host, port] = address.split(/:(?=\d+$)/);
    const parameters = Object.entries(query).map(([name, value]) => [name, String(value)]);
    const search = new URLSearchParams(Object.fromEntries(parameters) as Record<string, string>);
    return new Promise((resolve, reject) => {
      const request = startRequest({
        agent: this.agent,
        host,
        port,
        path: `${path}?${search.toString()}`,
        headers: { [relayHeader]: '1' },
        signal,
      });
      request.setNoDelay(true);
      request.on('information', onProgress);
      request.once('response', resolve);
      request.once('error', reject);
      request.end();
    });
  }
}
