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
  const lying = peer(1, { errorRate: 1, routes: [{ route: 'read', median: 9_999, samples: 16 }] });
  const cases = [
    {
      name: 'takes no view from two peers',
      peers: [peer(1), peer(2)],
      count: 0,
      median: undefined,
    },
    { name: 'leaves out the target itself', peers: [peer(0), peer(1), peer(2)], count: 0 },
    {
      name: 'leaves out a peer with too few samples',
      peers: [peer(1), peer(2), peer(3, { samples: 2 })],
      count: 0,
    },
    {
      name: 'leaves out ejected peers',
      peers: [peer(1), peer(2), peer(3, { status: 'ejected' })],
      count: 0,
    },
    {
      name: 'is not moved by one lying peer',
      peers: [lying, peer(2), peer(3), peer(4)],
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
    { troubled: 0, of: 7, expected: false },
    { troubled: 3, of: 7, expected: false },
    { troubled: 4, of: 7, expected: true },
    { troubled: 1, of: 1, expected: true },
    { troubled: 0, of: 0, expected: false },
  ];
  cases.forEach(({ troubled, of, expected }) => {
    it(`is ${expected} with ${troubled} of ${of} other targets in trouble`, () => {
      const peers = Array.from({ length: of }, (_, index) =>
        peer(index + 1, { severity: index < troubled ? 5 : 0 }),
      );
      expect(isServiceWide(self, [peer(0, { severity: 20 }), ...peers])).to.equal(expected);
    });
  });
});
