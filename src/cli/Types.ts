/** Types of the operators' command line `limpettrack`. */
import type { BaseContext } from 'clipanion';
import type { Clock } from '../common/base/index.js';
import type {
  ConfigurationContent,
  ConfigurationEditor,
  ConfigurationHead,
} from '../common/configuration/Types.js';
import type { Store } from '../common/services/Types.js';
import type { DocumentChange } from './configurationDiff.js';
import type { Edit } from './edits.js';

/** Addresses that a command connects to, and the author of its changes. */
export interface Connections {
  /** Name of the store adapter. */
  readonly adapter: string;
  /** `host:port` of each member of the store. */
  readonly store: readonly string[];
  /** `host:port` of the daemons' admin endpoints, in the order in which they are tried. */
  readonly daemons: readonly string[];
  /** Name in the history of the configuration. */
  readonly author: string;
}

/** Dependencies that the process passes to the commands. */
export interface OperatorContext extends BaseContext {
  readonly clock: Clock;
  readonly openStore: (connections: Connections) => Store;
  readonly createEditor: (store: Store) => ConfigurationEditor;
  readonly readFile: (file: string) => Promise<string>;
}

/** A change that an operator asks for. */
export interface ChangePlan {
  /** What it does, in one line. */
  readonly summary: string;
  readonly edit: Edit;
  /** Command that reverses the change, without the name of the program. */
  readonly undo?: string;
  /**
   * Documents that the change relies on, such as the preset of a switch; a concurrent change of one is a conflict.
   * `everything` means all documents.
   */
  readonly reliesOn?: readonly string[] | 'everything';
}

/** How a change is made. */
export interface ChangeOptions {
  readonly author: string;
  readonly isDryRun: boolean;
  /** Revision that the operator looked at; a later change of the same documents is a conflict. */
  readonly base?: number;
}

/** Concurrent changes of the same documents. Nothing of `ours` was applied. */
export interface ChangeConflict {
  readonly type: 'conflict';
  /** Revision that both changes started from. */
  readonly base: number;
  /** Current revision in the store. */
  readonly present: number;
  /** Heads after `base` up to `present`, oldest first. */
  readonly between: readonly Pick<ConfigurationHead, 'revision' | 'author' | 'summary'>[];
  readonly ours: readonly DocumentChange[];
  readonly theirs: readonly DocumentChange[];
  /** Documents that `theirs` changes and that `ours` changes or relies on. */
  readonly overlap: readonly string[];
  /** The whole configuration with `ours` and with `theirs`. */
  readonly wantedContent: ConfigurationContent;
  readonly presentContent: ConfigurationContent;
}

/** Result of a change. */
export type ChangeReport =
  | {
      readonly type: 'applied';
      readonly revision: number;
      readonly changes: readonly DocumentChange[];
      /** Authors of concurrent changes that were kept. */
      readonly keptAuthors: readonly string[];
    }
  | { readonly type: 'nothing'; readonly revision: number }
  | {
      readonly type: 'dry-run';
      readonly revision: number;
      readonly changes: readonly DocumentChange[];
    }
  | ChangeConflict
  | {
      readonly type: 'unknown';
      /** Revision of the change if it was applied. */
      readonly revision: number;
      readonly changes: readonly DocumentChange[];
    };
