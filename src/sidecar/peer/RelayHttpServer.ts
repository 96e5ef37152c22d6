import type { IncomingMessage, ServerResponse } from 'node:http';
import { brandAs, type Clock, type LogSink, type StoreEpoch } from '../../api/index.js';
import { RevisionCompactedError } from '../../common/fleet/errors.js';
import { awaitNews } from '../../common/fleet/awaitNews.js';
import type { StoreChanges } from '../../common/fleet/Types.js';
import type { StoreMirror } from '../../common/fleet/StoreMirror.js';
import { ageHeader, compactedStatus, relayPaths, toChanges } from './relayMessages.js';

/** Maximum milliseconds that a poll is held. */
const maxWait = 10_000;
/** Encoded responses that are kept, since all followers ask for the same changes. */
const maxCached = 4;
/** Milliseconds between two messages to a follower that a newer state arrives. */
const progressInterval = 100;
const unavailableStatus = 503;
const badRequestStatus = 400;

/** Dependencies of `RelayHttpServer`. */
export interface RelayHttpServerSettings {
  /** Mirror of a prefix for a daemon that polls or follows this one; undefined if it is not read here or this daemon stops. */
  readonly mirror: (prefix: string, isFollowed: boolean) => StoreMirror | undefined;
  readonly clock: Clock;
  readonly log: LogSink;
  /** Encodes a response. */
  readonly encode: (changes: StoreChanges) => Promise<Buffer>;
}

/** Answers the daemons that follow the store through this one. */
export class RelayHttpServer {
  private readonly cache = new Map<string, Promise<Buffer>>();

  public constructor(private readonly settings: RelayHttpServerSettings) {}

  /** Handles one request; never throws. */
  public handle(request: IncomingMessage, response: ServerResponse): void {
    request.resume();
    this.respond(request, response).catch((error: unknown) => {
      const isCompacted = error instanceof RevisionCompactedError;
      if (!isCompacted) this.logFailure(error);
      if (response.headersSent) response.destroy();
      else this.end(response, isCompacted ? compactedStatus : unavailableStatus);
    });
  }

  private async respond(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const { pathname, searchParams } = new URL(request.url ?? '/', 'http://daemon');
    const prefix = searchParams.get('prefix') ?? '';
    const isFollower = !searchParams.has('backup');
    const mirror = this.settings.mirror(prefix, isFollower);
    if (mirror?.position === undefined) {
      this.end(response, unavailableStatus);
      return;
    }
    if (pathname === relayPaths.snapshot) {
      const { snapshot } = mirror;
      if (snapshot === undefined) return;
      this.send(response, mirror, await this.encode(prefix, toChanges(snapshot)));
      return;
    }
    const revision = Number(searchParams.get('after') ?? NaN);
    // Followers of older builds do not tell the epoch or the age of their state.
    const epoch = Number(searchParams.get('epoch') ?? mirror.position.epoch);
    const wait = Math.min(Number(searchParams.get('wait') ?? NaN), maxWait);
    const age = Number(searchParams.get('age') ?? 0);
    const isValid = Number.isInteger(revision) && Number.isInteger(epoch) && wait >= 0 && age >= 0;
    if (pathname !== relayPaths.changes || !isValid) {
      this.end(response, badRequestStatus);
      return;
    }
    const closed = new AbortController();
    response.once('close', () => closed.abort());
    const after = { epoch: brandAs<StoreEpoch>(epoch), revision };
    const poll = { after, age, wait, isFollower };
    const progress = mirror.onProgress(this.createProgressListener(response));
    await awaitNews(mirror, poll, this.settings.clock, closed.signal);
    progress.dispose();
    if (response.destroyed) return;
    const changes = mirror.changesAfter(after);
    // Followers of older builds know no lists of keys and read all entries instead.
    const isCompacted = changes.keys !== undefined && !searchParams.has('keys');
    if (isCompacted) this.end(response, compactedStatus);
    else this.send(response, mirror, await this.encode(prefix, changes));
  }

  /** Tells a follower now and then that a newer state arrives, so that it does not look for another source. */
  private createProgressListener(response: ServerResponse): () => void {
    const { clock } = this.settings;
    let toldAt = -Infinity;
    return () => {
      if (clock.elapsed() - toldAt < progressInterval) return;
      toldAt = clock.elapsed();
      response.writeProcessing();
    };
  }

  /** Encodes the same changes once, from whichever revisions the followers ask for them. */
  private encode(prefix: string, message: StoreChanges): Promise<Buffer> {
    const { changes, epoch, revision, keys } = message;
    const revisions = changes.map(({ entry }) => entry.modRevision);
    const key = [prefix, epoch, revision, keys === undefined ? '' : 'keys', ...revisions].join(' ');
    let content = this.cache.get(key);
    if (content === undefined) {
      content = this.settings.encode(message);
      this.cache.set(key, content);
      const [oldest] = this.cache.keys();
      if (this.cache.size > maxCached && oldest !== undefined) this.cache.delete(oldest);
    }
    return content;
  }

  private send(response: ServerResponse, mirror: StoreMirror, content: Buffer): void {
    response.sendDate = false;
    response.writeHead(200, {
      'content-length': content.length,
      [ageHeader]: Math.round(mirror.age),
    });
    response.end(content);
  }

  private end(response: ServerResponse, status: number): void {
    response.writeHead(status, { 'content-length': 0 });
    response.end();
  }

  private logFailure(error: unknown): void {
    this.settings.log.write({
      level: 'warn',
      kind: 'membership',
      message: 'could not answer a daemon that follows the store through this one',
      fields: { step: 'relay.answer', error: String(error) },
    });
  }
}
