import { expect } from 'chai';
import {
  brandAs,
  type Incarnation,
  type OutcomeKind,
  type RequestId,
  type ServiceName,
  type TargetId,
} from '../api/index.js';
import { SystemClock } from '../node/SystemClock.js';
import { TargetServer } from '../target/TargetServer.js';
import { noFault } from '../target/Types.js';
import { requestIdHeader } from './Headers.js';
import { LocalHome } from './LocalHome.js';
import { discard } from './streams.js';
import type { ForwardRequest } from './Types.js';

const target = brandAs<TargetId>('t1');
const incarnation = brandAs<Incarnation>('0a-1');
const service = brandAs<ServiceName>('lots');

const forwarded: ForwardRequest = {
  context: {
    id: brandAs<RequestId>('r1'),
    service,
    route: 'lots',
    workClass: 'interactive',
    isIdempotent: true,
    timeout: 5_000,
  },
  target,
  targetIncarnation: incarnation,
  method: 'GET',
  path: '/lots/1?size=2000000',
  headers: [
    ['host', 'shop'],
    [requestIdHeader, 'r1'],
  ],
};

describe('LocalHome', () => {
  const cases: { name: string; errorShare: number; expected: OutcomeKind }[] = [
    {
      name: 'an error whose answer the entry discards to retry',
      errorShare: 1,
      expected: 'server-error',
    },
    { name: 'a successful answer that the caller aborts', errorShare: 0, expected: 'cancelled' },
  ];
  cases.forEach(({ name, errorShare, expected }) => {
    it(`records ${name} as ${expected}, so that a failing target does not look healthy`, async () => {
      const settings = {
        id: 't1',
        service,
        listen: '127.0.0.1:0',
        homes: [],
        slots: 5,
        connections: 10,
      };
      const server = new TargetServer(
        { ...settings, serviceTime: 1, coldStart: 0, seed: 1 },
        () => {},
        { ...noFault, errorShare },
      );
      const address = `127.0.0.1:${await server.listen()}`;
      const home = new LocalHome(
        new SystemClock(),
        () => 10,
        () => {},
      );
      home.announce({ ...settings, id: target, incarnation, address, state: 'active' });
      const outcome = new Promise<OutcomeKind>((resolve) => {
        home.onOutcome((event) => resolve(event.outcome.kind));
      });
      const answer = await home.forward(forwarded, new AbortController().signal);
      discard(answer.body);
      expect(await outcome).to.equal(expected);
      home.dispose();
      await server.close();
    });
  });
});
