import { expect } from 'chai';
import { brandAs } from '../base/index.js';
import type { TargetId } from '../base/index.js';
import { comparePeers, isServiceWide } from './PeerSummary.js';
import type { TargetSummary } from './Types.js';

const self = brandAs<TargetId>('t0');

function peer(index: number, change: Partial<TargetSummary> = {}): TargetSummary {
  return {
    target: brandAs<TargetId>(`t${index}`),
    status: 'active',
    slots: 5,
    share: 1,
    age: 0,
    errorRate: 0,
    samples: 50,
    severity: 0,
    routes: [{ route: 'read', median: 20, samples: 16 }],
    ...change,
  };
}

describe('comparePeers', () => {
  const wrong = peer(1, { errorRate: 1, routes: [{ route: 'read', median: 9_999, samples: 16 }] });
  const cases = [
    {
      name: 'needs more than two peers',
      peers: [peer(1), peer(2)],
      count: 0,
      median: undefined,
    },
    { name: 'excludes the target itself', peers: [peer(0), peer(1), peer(2)], count: 0 },
    {
      name: 'excludes a peer with too few samples',
      peers: [peer(1), peer(2), peer(3, { samples: 2 })],
      count: 0,
    },
    {
      name: 'excludes ejected peers',
      peers: [peer(1), peer(2), peer(3, { status: 'ejected' })],
      count: 0,
    },
    {
      name: 'is not affected by one peer with wrong values',
      peers: [wrong, peer(2), peer(3), peer(4)],
      count: 4,
      median: 20,
    },
  ];
  cases.forEach(({ name, peers, count, median }) => {
    it(name, () => {
      const view = comparePeers(self, peers);
      expect(view.peers).to.equal(count);
      expect(view.routes.get('read')).to.equal(median);
      expect(view.errorRate).to.equal(0);
    });
  });
});

describe('isServiceWide', () => {
  const cases = [
    { degraded: 0, of: 7, expected: false },
    { degraded: 3, of: 7, expected: false },
    { degraded: 4, of: 7, expected: true },
    { degraded: 1, of: 1, expected: true },
    { degraded: 0, of: 0, expected: false },
  ];
  cases.forEach(({ degraded, of, expected }) => {
    it(`is ${expected} with ${degraded} of ${of} other targets degraded`, () => {
      const peers = Array.from({ length: of }, (_, index) =>
        peer(index + 1, { severity: index < degraded ? 5 : 0 }),
      );
      expect(isServiceWide(self, [peer(0, { severity: 20 }), ...peers])).to.equal(expected);
    });
  });
});
