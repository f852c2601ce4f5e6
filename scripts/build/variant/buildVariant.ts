import { readFile } from 'node:fs/promises';
import { join, resolve } from 'node:path';

import type { Plugin } from 'esbuild';

import buildBinary from '../buildBinary';
import type SourceEdit from './SourceEdit';

function applyEdit(source: string, { path, from, to }: SourceEdit): string {
  const parts = source.split(from);
  if (parts.length !== 2) throw new Error(`${path} contains ${parts.length - 1} times: ${from}`);
  return parts.join(to);
}

function createPlugin(edits: readonly SourceEdit[]): Plugin {
  return {
    name: 'variant',
    setup: (build) => build.onLoad({ filter: /\.ts$/ }, async ({ path }) => {
      const own = edits.filter((edit) => resolve(edit.path) === path);
      if (own.length === 0) return undefined;
      return { contents: own.reduce(applyEdit, await readFile(path, 'utf8')), loader: 'ts' };
    }),
  };
}

/**
 * Builds the program from edited sources.
 *
 * @param folder - output folder
 * @param edits - what differs from the sources
 * @returns the path of the binary
 */
export default async function buildVariant(
  folder: string,
  edits: readonly SourceEdit[],
): Promise<string> {
  await buildBinary(folder, [createPlugin(edits)]);
  return join(resolve(folder), 'guavayard');
}
