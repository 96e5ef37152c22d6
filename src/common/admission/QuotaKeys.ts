import { brandAs, type AccountId, type ServiceName } from '../base/index.js';
import type { WorkClass } from '../services/Types.js';
import type { QuotaKey, QuotaSubject } from './QuotaTypes.js';

/** What a quota key limits. */
export type QuotaScope =
  | { readonly type: 'service'; readonly service: ServiceName }
  | { readonly type: 'class'; readonly service: ServiceName; readonly workClass: WorkClass }
  | { readonly type: 'account'; readonly account: AccountId };

/** Keys that a request counts against; the account first, so that a caller over its limit uses no service quota. */
export function quotaKeysOf(subject: QuotaSubject): readonly QuotaKey[] {
  const { service, workClass, account } = subject;
  const keys = [`service/${service}`, `class/${workClass}/${service}`];
  if (account !== undefined) keys.unshift(`account/${account}`);
  return keys.map((key) => brandAs<QuotaKey>(key));
}

/** Parses a quota key. */
export function parseQuotaKey(key: QuotaKey): QuotaScope {
  const [type, ...rest] = key.split('/');
  if (type === 'account') return { type, account: brandAs<AccountId>(rest.join('/')) };
  if (type !== 'class') return { type: 'service', service: brandAs<ServiceName>(rest.join('/')) };
  const [workClass, ...service] = rest;
  return {
    type,
    service: brandAs<ServiceName>(service.join('/')),
    workClass: workClass as WorkClass,
  };
}
