import { expect } from 'chai';
import { findFreePorts } from './freePorts.js';

/** Default start of the ephemeral port range on Linux. */
const firstEphemeralPort = 32_768;

describe('findFreePorts', () => {
  it('finds ports below the ephemeral range, so that no outgoing connection takes them', async () => {
    const found = await Promise.all([findFreePorts(5), findFreePorts(5)]);
    found.forEach((ports) => {
      expect(new Set(ports)).to.have.property('size', 5);
      ports.forEach((port) => expect(port).to.be.within(1_024, firstEphemeralPort - 1));
    });
  });

  it('returns no port twice, since the first caller may not have bound it yet', async () => {
    const given = new Set<number>();
    for (let count = 0; count < 100; count += 1) {
      (await findFreePorts(20)).forEach((port) => given.add(port));
    }
    expect(given.size).to.equal(2_000);
  });
});
