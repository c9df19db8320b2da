/**
 * Public entry of the client package.
 */
export { ExitCode } from './types/exit-code';
export { EntryClient, type EntryAnswer, type NoAnswer } from './core/entry-client';
export { type FolderBase, type FolderChange, compareFolder, readFolder } from './core/folder';
