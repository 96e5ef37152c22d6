import { brandAs } from '../api/index.js';
import type { QuotaDemand, QuotaGrant, QuotaKey } from '../common/admission/QuotaTypes.js';
import type { QuotaDemand__Output as DemandOutput } from './generated/limpettrack/QuotaDemand.js';
import type { QuotaGrant__Output as GrantOutput } from './generated/limpettrack/QuotaGrant.js';

/** Decodes the quota demands of an entry. */
export function decodeDemands(demands: readonly DemandOutput[]): readonly QuotaDemand[] {
  return demands.map(({ key, demand }) => ({ key: brandAs<QuotaKey>(key), demand }));
}

/** Decodes the quota grants of an owner. */
export function decodeGrants(grants: readonly GrantOutput[]): readonly QuotaGrant[] {
  return grants.map((grant) => ({ ...grant, key: brandAs<QuotaKey>(grant.key) }));
}
