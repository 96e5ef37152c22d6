import { once } from 'node:events';
import { createServer, type Server, type ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
import { gzipSync } from 'node:zlib';
import { encode } from '@msgpack/msgpack';
import { expect } from 'chai';
import {
  brandAs,
  FleetError,
  type DaemonId,
  type StoreChange,
  type StoreEpoch,
} from '../../api/index.js';
import type { RelayPoll } from '../../common/fleet/Types.js';
import { RevisionCompactedError } from '../../common/fleet/errors.js';
import { StoreMirror } from '../../common/fleet/StoreMirror.js';
import { SystemClock } from '../../node/SystemClock.js';
import { MemoryLog } from '../../testing/MemoryLog.js';
import { RelayHttpClient } from './RelayHttpClient.js';
import { RelayHttpServer } from './RelayHttpServer.js';
import { compactedStatus, encodeChanges, relayPaths } from './relayMessages.js';

const relay = brandAs<DaemonId>('d-1');
const prefix = 'op/config';
const { signal } = new AbortController();
const put = (key: string, value: string, modRevision: number): StoreChange => ({
  type: 'put',
  entry: { key, value: Buffer.from(value), modRevision },
});
const epoch = brandAs<StoreEpoch>(4);
const onProgress = (): void => {};
const pollOf = (after: number, wait: number, age = 0): RelayPoll => ({
  after: { epoch, revision: after },
  age,
  wait,
  isFollower: true,
});
const describeChanges = (changes: readonly StoreChange[]): string[] =>
  changes.map(
    ({ type, entry: { key, value, modRevision } }) =>
      `${type} ${key}=${Buffer.from(value).toString()} ${modRevision}`,
  );

describe('relay over HTTP', () => {
  const clock = new SystemClock();
  let mirror: StoreMirror;
  let server: Server;
  let client: RelayHttpClient;
  let encodings: number;
  let respond: ((response: ServerResponse) => void) | undefined;

  beforeEach(async () => {
    mirror = new StoreMirror(clock);
    mirror.replace({ entries: [put(prefix, 'one', 3).entry], epoch, revision: 5 }, 0);
    respond = undefined;
    encodings = 0;
    const handler = new RelayHttpServer({
      mirror: (of) => (of === prefix ? mirror : undefined),
      clock,
      log: new MemoryLog(),
      encode: (changes) => {
        encodings += 1;
        return encodeChanges(changes);
      },
    });
    server = createServer((request, response) => {
      if (respond === undefined) handler.handle(request, response);
      else respond(response);
    });
    server.listen(0, '127.0.0.1');
    await once(server, 'listening');
    const { port } = server.address() as AddressInfo;
    client = new RelayHttpClient((daemon) => (daemon === relay ? `127.0.0.1:${port}` : undefined));
  });

  afterEach(() => {
    client.dispose();
    server.close();
    server.closeAllConnections();
  });

  it('brings a snapshot across', async () => {
    const { entries, revision, age } = await client.snapshot(relay, prefix, signal, onProgress);
    const changes = entries.map((entry): StoreChange => ({ type: 'put', entry }));
    expect(describeChanges(changes)).to.deep.equal(['put op/config=one 3']);
    expect(revision).to.equal(5);
    expect(age).to.be.at.least(0);
  });

  it('brings changes across that came before the poll or during it', async () => {
    mirror.add({ epoch, changes: [put(prefix, 'two', 7)], revision: 8 }, 0);
    const first = await client.changes(relay, prefix, pollOf(5, 5_000), signal, onProgress);
    expect(describeChanges(first.changes)).to.deep.equal(['put op/config=two 7']);
    const poll = client.changes(relay, prefix, pollOf(first.revision, 5_000), signal, onProgress);
    const removal = { key: prefix, value: new Uint8Array(), modRevision: 9 };
    clock.after(20, () => {
      mirror.add({ epoch, changes: [{ type: 'delete', entry: removal }], revision: 9 }, 0);
    });
    expect(describeChanges((await poll).changes)).to.deep.equal(['delete op/config= 9']);
  });

  it('encodes a change once for followers that know different revisions, since compressing takes long on a small share of a core', async () => {
    mirror.add({ epoch, changes: [], revision: 9 }, 0);
    mirror.add({ epoch, changes: [put(prefix, 'two', 10)], revision: 12 }, 0);
    const revisions = [5, 6, 7, 8, 9];
    await Promise.all(
      revisions.map((after) =>
        client.changes(relay, prefix, pollOf(after, 100), signal, onProgress),
      ),
    );
    expect(encodings).to.equal(1);
  });

  it('ends a poll without changes after its wait', async () => {
    const { changes, revision } = await client.changes(
      relay,
      prefix,
      pollOf(5, 20),
      signal,
      onProgress,
    );
    expect(changes).to.deep.equal([]);
    expect(revision).to.equal(5);
  });

  it('brings all keys across if deletions may be missing, so that a follower need not read all entries', async () => {
    const { changes, keys } = await client.changes(
      relay,
      prefix,
      pollOf(4, 100),
      signal,
      onProgress,
    );
    expect(describeChanges(changes)).to.deep.equal([]);
    expect(keys).to.deep.equal([prefix]);
  });

  it('sends a follower of an older build, which knows no lists of keys, to the snapshot', async () => {
    const { port } = server.address() as AddressInfo;
    const query = `prefix=${encodeURIComponent(prefix)}&after=4&wait=100`;
    const { status } = await fetch(`http://127.0.0.1:${port}${relayPaths.changes}?${query}`);
    expect(status).to.equal(compactedStatus);
  });

  it('brings the epoch across, and sends a follower of an earlier one to the snapshot', async () => {
    const next = brandAs<StoreEpoch>(epoch + 1);
    mirror.replace({ entries: [put(prefix, 'again', 2).entry], epoch: next, revision: 2 }, 0);
    const error = await client
      .changes(relay, prefix, pollOf(5, 100), signal, onProgress)
      .then(undefined, (cause: unknown) => cause);
    expect(error).to.be.instanceOf(RevisionCompactedError);
    const snapshot = await client.snapshot(relay, prefix, signal, onProgress);
    expect([snapshot.epoch, snapshot.revision]).to.deep.equal([next, 2]);
  });

  it('waits longer for a relay that receives a newer state', async () => {
    let told = 0;
    const arrive = (): void => mirror.recordProgress();
    for (let time = 50; time <= 1_000; time += 50) clock.after(time, arrive);
    clock.after(1_050, () =>
      mirror.add({ epoch, changes: [put(prefix, 'two', 7)], revision: 8 }, 0),
    );
    const { changes } = await client.changes(relay, prefix, pollOf(5, 100), signal, () => {
      told += 1;
    });
    expect(describeChanges(changes)).to.deep.equal(['put op/config=two 7']);
    expect(told).to.be.above(1);
  });

  it('compresses a large configuration, since some links have 7 Mbit/s', async () => {
    const routes = Array.from({ length: 2_000 }, (_, index) => `{"name":"route-${index}"}`);
    mirror.add({ epoch, changes: [put(prefix, routes.join(), 7)], revision: 8 }, 0);
    let bytes = 0;
    server.on('connection', (socket) => {
      socket.once('close', () => {
        bytes += socket.bytesWritten;
      });
    });
    const { changes } = await client.changes(relay, prefix, pollOf(5, 5_000), signal, onProgress);
    expect(changes[0]?.entry.value.length).to.equal(routes.join().length);
    client.dispose();
    await once(server, 'close', { signal: AbortSignal.timeout(1) }).catch(() => {});
    server.closeAllConnections();
    await new Promise((resolve) => {
      setTimeout(resolve, 10);
    });
    expect(bytes).to.be.within(1, routes.join().length / 3);
  });

  const failures: readonly {
    readonly name: string;
    readonly call: () => Promise<unknown>;
    readonly error: new (...values: never[]) => Error;
    readonly text: string;
  }[] = [
    {
      name: 'the relay does not follow the prefix',
      call: () => client.snapshot(relay, 'limpettrack/', signal, onProgress),
      error: FleetError,
      text: 'answered 503',
    },
    {
      name: 'the revision is no number',
      call: () => client.changes(relay, prefix, pollOf(NaN, 100), signal, onProgress),
      error: FleetError,
      text: 'answered 400',
    },
    {
      name: 'the daemon is unknown',
      call: () => client.snapshot(brandAs<DaemonId>('d-2'), prefix, signal, onProgress),
      error: FleetError,
      text: 'unknown daemon',
    },
    {
      name: 'the follower ends the poll',
      call: () =>
        client.changes(relay, prefix, pollOf(5, 60_000), AbortSignal.timeout(10), onProgress),
      error: FleetError,
      text: 'did not respond',
    },
  ];
  failures.forEach(({ name, call, error, text }) => {
    it(`fails if ${name}`, async () => {
      const failure = await call().then(
        () => undefined,
        (reason: unknown) => reason,
      );
      expect(failure).to.be.instanceOf(error);
      expect(String(failure)).to.contain(text);
    });
  });

  const invalid: readonly { readonly name: string; readonly content: Buffer; age?: string }[] = [
    { name: 'no compressed message', content: Buffer.from('bytes') },
    { name: 'a message without a revision', content: gzipSync(encode({ changes: [] })) },
    {
      name: 'a change without a key',
      content: gzipSync(encode({ revision: 7, changes: [[1, 7, null]] })),
    },
    { name: 'no age', content: gzipSync(encode({ revision: 7, changes: [] })), age: 'x' },
  ];
  invalid.forEach(({ name, content, age = '0' }) => {
    it(`fails if the response of a relay is ${name}`, async () => {
      respond = (response) => {
        response.writeHead(200, { 'lt-age': age });
        response.end(content);
      };
      const failure = await client.changes(relay, prefix, pollOf(5, 100), signal, onProgress).then(
        () => undefined,
        (reason: unknown) => reason,
      );
      expect(failure).to.be.instanceOf(Error);
    });
  });
});
