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
import { HomeServer } from '../../sidecar/HomeServer.js';
import { PeerHttpClient } from '../../sidecar/PeerHttpClient.js';
import { quantile, summarise } from '../Statistics.js';
import type { Row, Scenario } from '../Types.js';

const rounds = 5;
const warmUpRequests = 300;
const requests = 2_000;
/** Requests at a time: the load of a busy daemon of today's deployments. */
const parallel = 4;
/** Bytes of a bid and of its answer. */
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

/** One way to carry a request between two daemons and back. */
interface Carrier {
  readonly name: string;
  readonly send: () => Promise<unknown>;
  readonly dispose: () => void;
}

async function createGrpc(): Promise<Carrier> {
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

async function createHttp(): Promise<Carrier> {
  const clock = new SystemClock();
  const log = { write: () => {} };
  const home = {
    run: async (_order: unknown, takeBody: () => Promise<Buffer>) => {
      await takeBody();
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
  const server = new HomeServer({
    home,
    version: () => 1,
    record: () => record,
    conditions: () => [],
    onConditions: () => {},
    onVersion: () => {},
    log,
  });
  const port = await server.listen(record.address);
  const link = new PeerHttpClient({
    id: daemon,
    region: record.region,
    clock,
    onVersion: () => {},
    conditions: () => [],
    onConditions: () => {},
    onRecord: () => {},
  });
  const candidate: Candidate = {
    ...record,
    recordVersion: recordVersion(record),
    address: `127.0.0.1:${port}`,
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
  const order: AttemptRequest = {
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
    send: () => link.send(candidate, order, signal),
    dispose: () => {
      link.dispose();
      server.dispose();
    },
  };
}

/** Latencies in milliseconds and processor microseconds of one request, both ends in this process. */
async function measure(
  { send }: Carrier,
  count: number,
): Promise<{ times: number[]; cost: number }> {
  const times: number[] = [];
  let left = count;
  const before = process.cpuUsage();
  const work = async (): Promise<void> => {
    while (left > 0) {
      left -= 1;
      const started = performance.now();
      await send();
      times.push(performance.now() - started);
    }
  };
  await Promise.all(Array.from({ length: parallel }, work));
  const { user, system } = process.cpuUsage(before);
  return { times, cost: (user + system) / count };
}

/** Compares what carries a request between two daemons. */
export const hop: Scenario = {
  name: 'hop',
  async run(): Promise<readonly Row[]> {
    const carriers = [await createHttp(), await createGrpc()];
    const results = new Map(
      carriers.map(({ name }) => [
        name,
        { p50: [] as number[], p99: [] as number[], cost: [] as number[] },
      ]),
    );
    for (const carrier of carriers) await measure(carrier, warmUpRequests);
    for (let round = 0; round < rounds; round += 1) {
      for (const carrier of carriers) {
        const { times, cost } = await measure(carrier, requests);
        const result = results.get(carrier.name);
        result?.p50.push(quantile(times, 0.5));
        result?.p99.push(quantile(times, 0.99));
        result?.cost.push(cost / microsecondsPerMillisecond);
      }
    }
    carriers.forEach(({ dispose }) => dispose());
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
