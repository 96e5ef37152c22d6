/** Edits of the configuration as pure functions. */
import { isLeft, left, right } from 'fp-ts/lib/Either.js';
import type { Either } from 'fp-ts/lib/Either.js';
import { brandAs } from '../common/base/index.js';
import type { PresetName } from '../common/base/index.js';
import type {
  Automation,
  ConfigurationContent,
  HoldDocument,
  PauseDocument,
} from '../common/configuration/Types.js';
import type { ConfigurationDraft } from './ConfigurationFile.js';
import { documentSchemas, nameOf } from './documentSchemas.js';
import type { AnyDocument, DocumentKind } from './documentSchemas.js';
import { exitCodes } from './exitCodes.js';
import type { ExitCode } from './exitCodes.js';

/** Why a change cannot be made. */
export interface EditRefusal {
  readonly exitCode: ExitCode;
  readonly message: string;
}

/** Edited content, or why the edit is refused. */
export type EditResult = Either<EditRefusal, ConfigurationContent>;

/** Computes the changed content. */
export type Edit = (content: ConfigurationContent) => EditResult;

function refuse(exitCode: ExitCode, message: string): EditResult {
  return left({ exitCode, message });
}

function documentsOf(content: ConfigurationContent, kind: DocumentKind): readonly AnyDocument[] {
  return content[documentSchemas[kind].collection];
}

/** Finds a document by its name. */
export function findDocument(
  content: ConfigurationContent,
  kind: DocumentKind,
  name: string,
): AnyDocument | undefined {
  return documentsOf(content, kind).find((document) => nameOf(document) === name);
}

function upsertDocument<Document extends AnyDocument>(
  documents: readonly Document[],
  document: Document,
): Document[] {
  const exists = documents.some((other) => nameOf(other) === nameOf(document));
  if (!exists) return [...documents, document];
  return documents.map((other) => (nameOf(other) === nameOf(document) ? document : other));
}

function withDocuments(
  content: ConfigurationContent,
  kind: DocumentKind,
  documents: readonly AnyDocument[],
): ConfigurationContent {
  return { ...content, [documentSchemas[kind].collection]: documents };
}

/** Adds a document that does not exist yet. */
export function createDocument(kind: DocumentKind, document: AnyDocument): Edit {
  return (content) => {
    const name = nameOf(document);
    if (findDocument(content, kind, name) !== undefined) {
      return refuse(exitCodes.invalid, `${kind} ${name} exists; use "${kind} change"`);
    }
    return right(withDocuments(content, kind, [...documentsOf(content, kind), document]));
  };
}

/** Replaces a document by the result of `update`. */
export function changeDocument(
  kind: DocumentKind,
  name: string,
  update: (current: AnyDocument) => Either<EditRefusal, AnyDocument>,
): Edit {
  return (content) => {
    const current = findDocument(content, kind, name);
    if (current === undefined) return refuse(exitCodes.notFound, `there is no ${kind} ${name}`);
    const updated = update(current);
    if (isLeft(updated)) return updated;
    const documents = upsertDocument(documentsOf(content, kind), updated.right);
    return right(withDocuments(content, kind, documents));
  };
}

/** Removes a document. */
export function removeDocument(kind: DocumentKind, name: string): Edit {
  return (content) => {
    if (findDocument(content, kind, name) === undefined) {
      return refuse(exitCodes.notFound, `there is no ${kind} ${name}`);
    }
    const rest = documentsOf(content, kind).filter((document) => nameOf(document) !== name);
    return right(withDocuments(content, kind, rest));
  };
}

/** Creates or replaces all documents of a file. If no preset is in force yet, puts the first of the file in force. */
export function applyDraft(draft: ConfigurationDraft): Edit {
  return (content) => {
    const merged = (Object.keys(documentSchemas) as DocumentKind[]).reduce((current, kind) => {
      const { collection } = documentSchemas[kind];
      const documents = (draft[collection] as readonly AnyDocument[]).reduce(
        (all, document) => upsertDocument(all, document),
        documentsOf(current, kind),
      );
      return withDocuments(current, kind, documents);
    }, content);
    const firstPreset = draft.presets[0]?.name;
    const preset =
      content.preset === '' && firstPreset !== undefined ? firstPreset : content.preset;
    return right({ ...merged, preset });
  };
}

/** Puts a preset in force. */
export function switchPreset(name: string): Edit {
  return (content) =>
    findDocument(content, 'preset', name) === undefined
      ? refuse(exitCodes.notFound, `there is no preset ${name}`)
      : right({ ...content, preset: brandAs<PresetName>(name) });
}

/** Ejects or drains a target; replaces an earlier hold of it. */
export function holdTarget(hold: HoldDocument): Edit {
  return (content) => {
    const others = content.holds.filter(({ target }) => target !== hold.target);
    return right({ ...content, holds: [...others, hold] });
  };
}

/** Removes the hold of a target. */
export function releaseTarget(target: string): Edit {
  return (content) =>
    right({ ...content, holds: content.holds.filter((hold) => hold.target !== target) });
}

/** Pauses an automatic action and removes expired pauses. */
export function pauseAutomation(document: PauseDocument, now: Date): Edit {
  return (content) => {
    const others = content.pauses.filter(
      ({ automation, service, expires }) =>
        new Date(expires) > now &&
        (automation !== document.automation || service !== document.service),
    );
    return right({ ...content, pauses: [...others, document] });
  };
}

/** Ends the pause of an automatic action, for one service or for all. */
export function resumeAutomation(automation: Automation, service: string | undefined): Edit {
  return (content) => {
    const rest = content.pauses.filter(
      (other) => other.automation !== automation || other.service !== service,
    );
    return right({ ...content, pauses: rest });
  };
}
