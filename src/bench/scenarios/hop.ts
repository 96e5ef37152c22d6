import { Readable } from 'node:stream';
import { buffer } from 'node:stream/consumers';
import {
  brandAs,
  type DaemonId,
  type DataCentre,
  type Incarnation,
  type Region,
  type RequestId,
  type ServiceName,
  type TargetId,
} from '../../api/index.js';
import type { Candidate, AttemptRequest } from '../../common/dispatch/Types.js';
import { recordVersion } from '../../common/fleet/daemonRecords.js';
import type { DaemonRecord } from '../../common/fleet/Types.js';
import { PeerConnections } from '../../daemon/PeerConnections.js';
import { PeerServer } from '../../daemon/PeerServer.js';
import { RemoteHome } from '../../daemon/RemoteHome.js';
import type { HeaderPair } from '../../daemon/Types.js';
import { SystemClock } from '../../node/SystemClock.js';
import { createReachability } from '../../testing/createReachability.js';
import { HomeServer } from '../../sidecar/HomeServer.js';
import { newestPeerEncoding, PeerCodecs } from '../../sidecar/peer/peerCodecs.js';
import { PeerHttpClient } from '../../sidecar/PeerHttpClient.js';
import type { BodyProvider } from '../../sidecar/Types.js';
import { quantile, summarise } from '../Statistics.js';
import type { Row, Scenario } from '../Types.js';

const rounds = 5;
const warmUpRequests = 300;
const requests = 2_000;
/** Concurrent requests, as on a busy daemon of the present deployments. */
const parallel = 4;
/** Body sizes in bytes of a bid and of its answer. */
const requestBytes = 1_200;
const answerBytes = 1_500;
const microsecondsPerMillisecond = 1_000;

const service = brandAs<ServiceName>('pujas');
const target = brandAs<TargetId>('t');
const incarnation = brandAs<Incarnation>('1');
const requestBody = Buffer.alloc(requestBytes, 'r');
const answerBody = Buffer.alloc(answerBytes, 'a');
const headers: readonly HeaderPair[] = [
  ['host', 'a.example'],
  ['content-type', 'text/plain'],
];
const answerHeaders: readonly HeaderPair[] = [['content-length', String(answerBytes)]];
const { signal } = new AbortController();

/** Transport for a request between two daemons and its answer. */
interface Transport {
  readonly name: string;
  readonly send: () => Promise<unknown>;
  readonly dispose: () => void;
}

async function createGrpcTransport(): Promise<Transport> {
  const server = new PeerServer(
    {
      forward: async ({ body }) => {
        if (body instanceof Readable) await buffer(body);
        const load = { queued: 0, running: 0, slots: 5, serviceTime: 1 };
        return { status: 200, headers: answerHeaders, load, body: Readable.from([answerBody]) };
      },
    },
    {},
  );
  const port = await server.listen('127.0.0.1:0');
  const connections = new PeerConnections();
  const home = new RemoteHome(`127.0.0.1:${port}`, connections);
  const context = {
    id: brandAs<RequestId>('r'),
    service,
    route: 'bid',
    workClass: 'critical' as const,
    isIdempotent: false,
    timeout: 4_000,
  };
  return {
    name: 'gRPC stream',
    send: async () => {
      const answer = await home.forward(
        {
          context,
          target,
          targetIncarnation: incarnation,
          method: 'POST',
          path: '/x',
          headers,
          body: requestBody,
        },
        signal,
      );
      return buffer(answer.body);
    },
    dispose: () => {
      connections.dispose();
      server.dispose();
    },
  };
}

async function createHttpTransport(): Promise<Transport> {
  const clock = new SystemClock();
  const log = { write: () => {} };
  const home = {
    run: async (_request: unknown, readBody: BodyProvider) => {
      await readBody(() => {});
      return { status: 200, headers: answerHeaders, body: Readable.from([answerBody]) };
    },
  };
  const daemon = brandAs<DaemonId>('d');
  const record: DaemonRecord = {
    daemon,
    incarnation,
    serial: 1,
    address: '127.0.0.1:0',
    region: brandAs<Region>('gam'),
    dataCentre: brandAs<DataCentre>('gam-a'),
    state: 'serving',
    targets: [],
  };
  const codecs = new PeerCodecs('request-id');
  const server = new HomeServer({
    clock,
    home,
    codecs,
    version: () => 1,
    record: () => record,
    conditions: () => [],
    onConditions: () => {},
    onVersion: () => {},
    log,
  });
  const port = await server.listen(record.address);
  const client = new PeerHttpClient({
    id: daemon,
    region: record.region,
    dataCentre: record.dataCentre,
    codecs,
    clock,
    log,
    monitor: createReachability(clock, log, [record]).monitor,
    onVersion: () => {},
    conditions: () => [],
    onConditions: () => {},
    onRecord: () => {},
  });
  const candidate: Candidate = {
    ...record,
    recordVersion: recordVersion(record),
    address: `127.0.0.1:${port}`,
    encoding: newestPeerEncoding,
    target,
    incarnation,
    slots: 5,
    inFlight: 0,
    age: 0,
  };
  const route = {
    name: 'bid',
    host: 'a.example',
    path: '/',
    isIdempotent: false,
    timeout: 4_000,
    goal: 2_000,
    rank: 1,
    maxAttempts: 2,
    parts: [{ service, weight: 1 }],
  };
  const call = {
    id: brandAs<RequestId>('r'),
    route,
    service,
    method: 'POST',
    path: '/x',
    headers,
    body: requestBody,
    timeout: 4_000,
  };
  const attempt: AttemptRequest = {
    call,
    target,
    incarnation,
    timeout: 4_000,
    maxQueueWait: 0,
    isForced: false,
    isTrial: false,
    isRetry: false,
    version: 1,
    onStart: () => {},
  };
  return {
    name: 'HTTP/1.1 with 100-continue',
    send: () => client.send(candidate, attempt, signal),
    dispose: () => {
      client.dispose();
      server.dispose();
    },
  };
}

/** Latencies in milliseconds, and processor microseconds per request; both ends run in this process. */
async function measure(
  { send }: Transport,
  count: number,
): Promise<{ latencies: number[]; cost: number }> {
  const latencies: number[] = [];
  let remaining = count;
  const before = process.cpuUsage();
  const worker = async (): Promise<void> => {
    while (remaining > 0) {
      remaining -= 1;
      const started = performance.now();
      await send();
      latencies.push(performance.now() - started);
    }
  };
  await Promise.all(Array.from({ length: parallel }, worker));
  const { user, system } = process.cpuUsage(before);
  return { latencies, cost: (user + system) / count };
}

/** Compares the transports between two daemons. */
export const hop: Scenario = {
  name: 'hop',
  async run(): Promise<readonly Row[]> {
    const transports = [await createHttpTransport(), await createGrpcTransport()];
    const results = new Map(
      transports.map(({ name }) => [
        name,
        { p50: [] as number[], p99: [] as number[], cost: [] as number[] },
      ]),
    );
    for (const transport of transports) await measure(transport, warmUpRequests);
    for (let round = 0; round < rounds; round += 1) {
      for (const transport of transports) {
        const { latencies, cost } = await measure(transport, requests);
        const result = results.get(transport.name);
        result?.p50.push(quantile(latencies, 0.5));
        result?.p99.push(quantile(latencies, 0.99));
        result?.cost.push(cost / microsecondsPerMillisecond);
      }
    }
    transports.forEach(({ dispose }) => dispose());
    const row = (measureName: string, pick: 'p50' | 'p99' | 'cost'): Row => ({
      measure: measureName,
      unit: 'ms',
      goal: '',
      figures: [...results].map(([name, values]) => summarise(name, values[pick])),
      seeds: [],
      notMeasured: 'routing, admission and the target',
    });
    return [
      row('one hop between daemons, p50', 'p50'),
      row('one hop between daemons, p99', 'p99'),
      row('processor time of a hop, both ends', 'cost'),
    ];
  },
};
