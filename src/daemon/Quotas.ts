import { isLeft } from 'fp-ts/lib/Either.js';
import {
  FleetError,
  NotRunError,
  rankByRendezvous,
  type AccountId,
  type Clock,
  type Configuration,
  type DaemonId,
  type Disposable,
  type RequestContext,
  type ServiceLimits,
  type ServiceName,
} from '../api/index.js';
import { QuotaClient } from '../common/admission/QuotaClient.js';
import { parseQuotaKey } from '../common/admission/QuotaKeys.js';
import { QuotaOwner } from '../common/admission/QuotaOwner.js';
import type { QuotaDemand, QuotaGrant, QuotaKey } from '../common/admission/QuotaTypes.js';
import type { MemberTable } from '../common/membership/MemberTable.js';
import type { GrantResponse__Output as GrantResponse } from './generated/limpettrack/GrantResponse.js';
import type { PeerHandlers } from './generated/limpettrack/Peer.js';
import type { PeerConnections } from './PeerConnections.js';
import { createUnaryHandler } from './PeerServer.js';
import { decodeDemands, decodeGrants } from './QuotaMessages.js';
import { callUnary } from './unary.js';

/** Timeout of one call to a quota owner. */
const grantTimeoutMs = 1_000;

/** Dependencies of the quotas of a daemon. */
export interface QuotasSettings {
  readonly id: DaemonId;
  readonly table: MemberTable;
  readonly connections: PeerConnections;
  readonly configuration: () => Configuration | undefined;
  readonly limitsOf: (service: ServiceName) => ServiceLimits;
  readonly clock: Clock;
}

/** Fleet-wide rate limits: the client side for requests that enter at this daemon, and the owner side for its keys. */
export class Quotas implements Disposable {
  private readonly quotaClient: QuotaClient;

  private readonly owner: QuotaOwner;

  private accountRates: ReadonlyMap<AccountId, number> = new Map();

  private accountRatesSource: Configuration | undefined;

  public constructor(private readonly settings: QuotasSettings) {
    const limitOf = (key: QuotaKey): number => this.limitOf(key);
    this.owner = new QuotaOwner(limitOf, settings.clock);
    this.quotaClient = new QuotaClient(
      {
        limitOf,
        ownerOf: (key) => this.ownerOf(key),
        daemonCount: () => this.countDaemons(),
        request: (owner, demands) => this.request(owner, demands),
      },
      settings.clock,
    );
  }

  /** Counts a request against its limits; throws `NotRunError` with reason `limit` if one is reached. */
  public async check(context: RequestContext): Promise<void> {
    const result =
      this.quotaClient.tryAcquire(context) ?? (await this.quotaClient.acquire(context));
    if (isLeft(result))
      throw new NotRunError('limit', result.left.message, { step: 'entry.quota' });
  }

  /** Handler of peer calls for grants. */
  public handlers(): Pick<PeerHandlers, 'Grant'> {
    return {
      Grant: createUnaryHandler(async ({ demands }) => ({
        grants: [...this.grant(decodeDemands(demands))],
      })),
    };
  }

  public dispose(): void {
    this.quotaClient.dispose();
    this.owner.dispose();
  }

  /** Grants only keys that this daemon considers its own, so that two owners rarely grant a key at the same time. */
  private grant(demands: readonly QuotaDemand[]): readonly QuotaGrant[] {
    const notOwned = demands.find(({ key }) => this.ownerOf(key) !== this.settings.id);
    if (notOwned !== undefined) {
      throw new FleetError(`not the owner of ${notOwned.key}`, { step: 'quota.grant' });
    }
    return this.owner.grant(demands);
  }

  private async request(
    owner: DaemonId,
    demands: readonly QuotaDemand[],
  ): Promise<readonly QuotaGrant[]> {
    if (owner === this.settings.id) return this.owner.grant(demands);
    const peer = this.settings.table.get(owner)?.address ?? '';
    const client = this.settings.connections.get(peer);
    const message = { sender: this.settings.id, demands: [...demands] };
    const origin = { step: 'quota.request', peer };
    const { grants } = await callUnary<GrantResponse>(origin, grantTimeoutMs, (options, done) => {
      client.grant(message, options, done);
    });
    return decodeGrants(grants);
  }

  private ownerOf(key: QuotaKey): DaemonId | undefined {
    const members = this.settings.table.live().map(({ id }) => id);
    return rankByRendezvous(key, members)[0];
  }

  /** Dead members count too; otherwise each side of a partition would grant itself a larger share. */
  private countDaemons(): number {
    return this.settings.table.all().filter(({ status }) => status !== 'left').length;
  }

  private limitOf(key: QuotaKey): number {
    const scope = parseQuotaKey(key);
    if (scope.type === 'account') return this.accountRate(scope.account);
    // The configuration has no limits for work classes.
    return scope.type === 'class' ? 0 : this.settings.limitsOf(scope.service).rate;
  }

  private accountRate(account: AccountId): number {
    const configuration = this.settings.configuration();
    if (configuration !== this.accountRatesSource) {
      this.accountRatesSource = configuration;
      const accounts = configuration?.accounts ?? [];
      this.accountRates = new Map(accounts.map(({ id, rate }) => [id, rate]));
    }
    return this.accountRates.get(account) ?? 0;
  }
}
