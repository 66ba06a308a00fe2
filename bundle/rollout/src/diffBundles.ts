// Structural diff of two bundle bodies by key path. Array elements are matched by identity (the name, or
// methods and path prefix of a route) instead of position, so that an inserted server is a single
// difference and not one for each server after it.
import { formatCanonicalJson } from '@siskinbeam/signatures/digestBundle'

export enum DifferenceKind {
  Added = 'added',
  Removed = 'removed',
  Changed = 'changed',
  /** The same elements in another order; `before` and `after` list their identities. */
  Reordered = 'reordered'
}

/** One difference. `path` consists of object keys and identities of array elements. */
export interface BundleDifference {
  kind: DifferenceKind
  path: string[]
  before?: unknown
  after?: unknown
}

type JsonObject = Record<string, unknown>

/** Lists the differences from one body to another, sorted by key path. */
export function diffBundles (before: unknown, after: unknown): BundleDifference[] {
  return diffValues([], before, after)
}

/** Formats a difference as one line: sign, path and values. */
export function formatDifference ({ kind, path, before, after }: BundleDifference): string {
  const texts: Record<DifferenceKind, () => string> = {
    [DifferenceKind.Added]: () => `+ ${path.join('.')} ${JSON.stringify(after)}`,
    [DifferenceKind.Removed]: () => `- ${path.join('.')} ${JSON.stringify(before)}`,
    [DifferenceKind.Changed]: () => `~ ${path.join('.')} ${JSON.stringify(before)} -> ${JSON.stringify(after)}`,
    [DifferenceKind.Reordered]: () => `~ ${path.join('.')} order ${JSON.stringify(before)} -> ${JSON.stringify(after)}`
  }
  return texts[kind]()
}

function diffValues (path: string[], before: unknown, after: unknown): BundleDifference[] {
  if (before === undefined && after === undefined) return []
  if (before === undefined) return [{ kind: DifferenceKind.Added, path, after }]
  if (after === undefined) return [{ kind: DifferenceKind.Removed, path, before }]
  const [first, second] = [identifyElements(before), identifyElements(after)]
  if (first !== undefined && second !== undefined) return [...diffOrder(path, first, second), ...diffMembers(path, first, second)]
  if (isObject(before) && isObject(after)) return diffMembers(path, new Map(Object.entries(before)), new Map(Object.entries(after)))
  return formatCanonicalJson(before) === formatCanonicalJson(after) ? [] : [{ kind: DifferenceKind.Changed, path, before, after }]
}

function diffMembers (path: string[], before: Map<string, unknown>, after: Map<string, unknown>): BundleDifference[] {
  return [...new Set([...before.keys(), ...after.keys()])].sort()
    .flatMap(key => diffValues([...path, key], before.get(key), after.get(key)))
}

function diffOrder (path: string[], before: Map<string, unknown>, after: Map<string, unknown>): BundleDifference[] {
  const commonBefore = [...before.keys()].filter(key => after.has(key))
  const commonAfter = [...after.keys()].filter(key => before.has(key))
  const same = commonBefore.every((key, position) => key === commonAfter[position])
  return same ? [] : [{ kind: DifferenceKind.Reordered, path, before: commonBefore, after: commonAfter }]
}

// Returns undefined for arrays of primitive values and arrays without unique identities; these are compared as a whole.
function identifyElements (value: unknown): Map<string, unknown> | undefined {
  if (!Array.isArray(value)) return undefined
  const identified = new Map(value.flatMap(element => {
    const identity = identify(element)
    return identity === undefined ? [] : [[identity, element as unknown] as const]
  }))
  return identified.size === value.length ? identified : undefined
}

function identify (element: unknown): string | undefined {
  if (!isObject(element)) return undefined
  if (typeof element.name === 'string') return element.name
  if (typeof element.pathPrefix === 'string' && Array.isArray(element.methods)) return `${element.methods.join(',')} ${element.pathPrefix}`
  return undefined
}

function isObject (value: unknown): value is JsonObject {
  return typeof value === 'object' && value !== null && !Array.isArray(value)
}
