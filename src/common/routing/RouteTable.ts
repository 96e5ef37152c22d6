import * as O from 'fp-ts/lib/Option.js';
import type { RouteDocument } from '../configuration/Types.js';

/** Properties of a request by which it is routed. */
export interface RouteQuery {
  readonly method: string;
  /** Host without port, in lower case. */
  readonly host: string;
  /** Path without query. */
  readonly path: string;
}

/** Properties of a route by which it matches requests. */
export type RouteMatch = Pick<RouteDocument, 'host' | 'path' | 'methods'>;

const anyHost = '*';
const idempotentMethods: ReadonlySet<string> = new Set([
  'GET',
  'HEAD',
  'OPTIONS',
  'TRACE',
  'PUT',
  'DELETE',
]);

/** Whether the request may be repeated, as set by the route or else by the method. */
export function isIdempotent(route: RouteDocument, method: string): boolean {
  return route.isIdempotent ?? idempotentMethods.has(method);
}

function matchesPath(prefix: string, path: string): boolean {
  if (!path.startsWith(prefix)) return false;
  return prefix.endsWith('/') || path.length === prefix.length || path[prefix.length] === '/';
}

function compareBySpecificity(left: RouteMatch, right: RouteMatch): number {
  const byPath = right.path.length - left.path.length;
  if (byPath !== 0) return byPath;
  return (right.methods === undefined ? 0 : 1) - (left.methods === undefined ? 0 : 1);
}

/**
 * Finds the route of a request. A route with a host takes precedence over one without, then the longest
 * path prefix wins, then a route with methods takes precedence over one without.
 */
export class RouteTable<Route extends RouteMatch = RouteDocument> {
  /** Routes by host and first path segment, so that a look-up checks only a few of several thousand routes. */
  private readonly buckets = new Map<string, Route[]>();

  public constructor(routes: readonly Route[]) {
    routes.forEach((route) => this.add(route));
    this.buckets.forEach((bucket) => bucket.sort(compareBySpecificity));
  }

  /** Returns the most specific matching route, or none. */
  public find(query: RouteQuery): O.Option<Route> {
    const keys = [
      RouteTable.bucketKey(query.host, query.path),
      RouteTable.bucketKey(query.host, '/'),
      RouteTable.bucketKey(anyHost, query.path),
      RouteTable.bucketKey(anyHost, '/'),
    ];
    for (const key of keys) {
      const route = this.buckets.get(key)?.find((candidate) => RouteTable.fits(candidate, query));
      if (route !== undefined) return O.some(route);
    }
    return O.none;
  }

  private static fits(route: RouteMatch, query: RouteQuery): boolean {
    const acceptsMethod = route.methods === undefined || route.methods.includes(query.method);
    return acceptsMethod && matchesPath(route.path, query.path);
  }

  private static bucketKey(host: string, path: string): string {
    const [, segment = ''] = path.split('/', 2);
    return `${host}/${segment}`;
  }

  private add(route: Route): void {
    const key = RouteTable.bucketKey(route.host?.toLowerCase() ?? anyHost, route.path);
    const bucket = this.buckets.get(key);
    if (bucket === undefined) this.buckets.set(key, [route]);
    else bucket.push(route);
  }
}
