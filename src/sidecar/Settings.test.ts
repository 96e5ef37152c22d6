import { expect } from 'chai';
import { isLeft, isRight } from 'fp-ts/lib/Either.js';
import { defaultLocality } from '../common/dispatch/Placement.js';
import { parseSidecarSettings } from './Settings.js';

const required = `[daemon]
id = d-1
region = gam
data-centre = gam-a
[target]
service = pujas
address = 10.0.0.1:80
[listen]
callers = 10.0.0.1:81
peer = 10.0.0.1:82
readiness = 10.0.0.1:83
admin = 10.0.0.1:84
metrics = 10.0.0.1:85
[store]
addresses = 10.0.0.2:80
`;

describe('settings of a sidecar', () => {
  const cases = [
    { name: 'the default without a section', text: '', locality: defaultLocality },
    {
      name: 'the default of each missing setting',
      text: '[locality]\nregion-cost = 1 s\n',
      locality: { ...defaultLocality, region: { ...defaultLocality.region, fixed: 1_000 } },
    },
    {
      name: 'all settings',
      text: `[locality]
data-centre-cost = 2 ms
data-centre-cost-per-kilobyte = 5 ms
region-cost = 40 ms
region-cost-per-kilobyte = 0 ms
`,
      locality: { dataCentre: { fixed: 2, perKilobyte: 5 }, region: { fixed: 40, perKilobyte: 0 } },
    },
  ];
  cases.forEach(({ name, text, locality }) => {
    it(`takes the costs of distance: ${name}`, () => {
      const settings = parseSidecarSettings('d.ini', required + text);
      expect(isRight(settings) && settings.right.locality).to.deep.equal(locality);
    });
  });

  const invalid = ['region-cost = far', 'region-cost = -1 ms', 'regional-cost = 1 ms'];
  invalid.forEach((line) => {
    it(`reports "${line}" in one line`, () => {
      const settings = parseSidecarSettings('d.ini', `${required}[locality]\n${line}\n`);
      expect(isLeft(settings) && settings.left.problems).to.have.length(1);
    });
  });
});
