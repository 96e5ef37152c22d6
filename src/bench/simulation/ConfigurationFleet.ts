import { createRandom } from '../../common/base/index.js';
import { encodeHead } from '../../common/configuration/ConfigurationCodec.js';
import { ConfigurationState } from '../../common/configuration/ConfigurationState.js';
import { ConfigurationTask } from '../../common/configuration/ConfigurationTask.js';
import { createMembershipView } from '../../common/configuration/createMembershipView.js';
import { StoreConfigurationEditor } from '../../common/configuration/StoreConfigurationEditor.js';
import type { ConfigurationChunk } from '../../common/configuration/Types.js';
import type { RevisionExchange } from '../../common/membership/Types.js';
import { sha256 } from '../../node/sha256.js';
import { FakeStore } from './FakeStore.js';
import { MemberFleet } from './MemberFleet.js';
import type { FleetOptions } from './MemberFleet.js';

/** Settings of a simulated fleet with configuration; `onChunks` is called for each chunk transfer. */
export interface ConfigurationFleetOptions extends Omit<FleetOptions, 'revisionsOf'> {
  readonly onChunks?: (
    sender: number,
    receiver: number,
    chunks: readonly ConfigurationChunk[],
  ) => void;
}

/** Configuration state and task of one daemon. */
export interface ConfigurationNode {
  readonly state: ConfigurationState;
  readonly task: ConfigurationTask;
  /** Revisions that took effect, in order. */
  readonly revisions: number[];
}

/** Simulated fleet in which each daemon runs the production membership and configuration tasks. */
export class ConfigurationFleet {
  public readonly members: MemberFleet;

  public readonly store = new FakeStore();

  public readonly editor: StoreConfigurationEditor;

  public readonly nodes: ConfigurationNode[] = [];

  public constructor(private readonly options: ConfigurationFleetOptions) {
    const { clock } = options;
    this.editor = new StoreConfigurationEditor(this.store, sha256, () => clock.now());
    const revisionsOf = (index: number): RevisionExchange => this.revisionsOf(index);
    this.members = new MemberFleet({ ...options, revisionsOf });
    this.members.nodes.forEach((_, index) => this.nodes.push(this.createNode(index)));
  }

  public start(): void {
    this.members.start();
    this.nodes.forEach(({ task }) => task.start());
  }

  /** Replaces the process at an index by a new one with empty state. */
  public restart(index: number): void {
    this.node(index).task.dispose();
    this.members.restart(index);
    this.nodes[index] = this.createNode(index);
    this.node(index).task.start();
  }

  public node(index: number): ConfigurationNode {
    return this.nodes[index] as ConfigurationNode;
  }

  /** Revision in force at each running daemon. */
  public revisions(): number[] {
    return this.members.running().map(({ index }) => this.node(index).state.revision);
  }

  /** Virtual milliseconds until the revision is in force at all running daemons, at most `limit`. */
  public async timeToRevision(revision: number, limit: number, step = 50): Promise<number> {
    for (let waited = 0; waited < limit; waited += step) {
      if (this.revisions().every((current) => current === revision)) return waited;
      await this.options.clock.advanceAsync(step);
    }
    return limit;
  }

  public dispose(): void {
    this.nodes.forEach(({ task }) => task.dispose());
    this.members.dispose();
  }

  private revisionsOf(index: number): RevisionExchange {
    return {
      revision: () => this.nodes[index]?.state.revision ?? 0,
      head: () => {
        const head = this.nodes[index]?.state.head;
        return head === undefined ? undefined : encodeHead(head, sha256);
      },
      offer: (address, head) => this.nodes[index]?.task.offer(address, head),
    };
  }

  private createNode(index: number): ConfigurationNode {
    const { clock, table, gossip } = this.members.node(index);
    const state = new ConfigurationState(sha256);
    const revisions: number[] = [];
    state.onChange(({ after }) => {
      revisions.push(after.revision);
      gossip.exchangeNow();
    });
    const task = new ConfigurationTask({
      state,
      store: this.store,
      membership: createMembershipView(table),
      fetchChunks: (address, digests) => this.fetchChunks(index, address, digests),
      digest: sha256,
      clock,
      random: createRandom(this.options.seed * 7919 + index),
      log: { write: () => {} },
    });
    return { state, task, revisions };
  }

  private fetchChunks(
    sender: number,
    address: string,
    digests: readonly string[],
  ): Promise<readonly ConfigurationChunk[]> {
    const receiver = this.members.indexOf(address);
    return this.members.call(sender, receiver, () => {
      const { state } = this.node(receiver);
      const chunks = digests.flatMap((digest) => {
        const content = state.chunkContent(digest);
        return content === undefined ? [] : [{ digest, content }];
      });
      this.options.onChunks?.(receiver, sender, chunks);
      return Promise.resolve(chunks);
    });
  }
}
