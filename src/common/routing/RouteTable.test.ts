import { expect } from 'chai';
import * as O from 'fp-ts/lib/Option.js';
import { brandAs, type ServiceName } from '../base/index.js';
import type { RouteDocument } from '../configuration/Types.js';
import { isIdempotent, RouteTable } from './RouteTable.js';

function createRoute(
  name: string,
  path: string,
  extra: Partial<RouteDocument> = {},
): RouteDocument {
  return { name, path, service: brandAs<ServiceName>('s'), workClass: 'interactive', ...extra };
}

const table = new RouteTable([
  createRoute('root', '/'),
  createRoute('lots', '/lots'),
  createRoute('photos', '/lots/photos'),
  createRoute('bids', '/lots', { methods: ['POST'] }),
  createRoute('admin', '/', { host: 'Admin.example' }),
]);

describe('RouteTable', () => {
  const cases = [
    { name: 'longest prefix wins', path: '/lots/photos/1', expected: 'photos' },
    { name: 'a prefix ends at a segment', path: '/lotsize', expected: 'root' },
    { name: 'exact path', path: '/lots', expected: 'lots' },
    {
      name: 'a route with methods takes precedence',
      method: 'POST',
      path: '/lots/7',
      expected: 'bids',
    },
    {
      name: 'a route with a host takes precedence over any path',
      host: 'admin.example',
      path: '/lots',
      expected: 'admin',
    },
  ];
  cases.forEach(({ name, method = 'GET', host = 'x', path, expected }) => {
    it(name, () => {
      const route = table.find({ method, host, path });
      expect(O.toUndefined(route)?.name).to.equal(expected);
    });
  });

  it('finds nothing when no route matches, so that the request is refused', () => {
    const empty = new RouteTable([createRoute('lots', '/lots')]);
    expect(O.isNone(empty.find({ method: 'GET', host: 'x', path: '/bids' }))).to.equal(true);
  });
});

describe('isIdempotent', () => {
  const cases = [
    { method: 'GET', declared: undefined, expected: true },
    { method: 'POST', declared: undefined, expected: false },
    { method: 'PATCH', declared: undefined, expected: false },
    { method: 'PUT', declared: false, expected: false },
    { method: 'POST', declared: true, expected: true },
  ];
  cases.forEach(({ method, declared, expected }) => {
    it(`${method} on a route with isIdempotent ${declared} is ${expected}`, () => {
      expect(isIdempotent(createRoute('r', '/', { isIdempotent: declared }), method)).to.equal(
        expected,
      );
    });
  });
});
