// Reads the records of the bench from JSON texts. A file holds one record or a list of them. Only the
// fields that are drawn are checked, so that records with further fields can be read.
import { z } from 'zod'
import type { RunRecord } from '@siskinbeam/bench/record'

const milliseconds = z.number().nonnegative()
// `satisfies` fails the build when the bench no longer writes a field that is drawn.
const recordShape = z.object({
  workload: z.string(),
  policy: z.string(),
  seed: z.number(),
  load: z.number(),
  fault: z.string(),
  entryHosts: z.number(),
  requests: z.number(),
  p50Ms: milliseconds,
  p99Ms: milliseconds,
  p999Ms: milliseconds,
  probesPerRequest: z.number().nonnegative()
} satisfies Partial<Record<keyof RunRecord, z.ZodType>>)

/** The part of a record that is drawn. */
export type DrawnRecord = z.output<typeof recordShape>

/** Reads the records of one file. Throws an Error that names the file and the first wrong field. */
export function readRecords (file: string, text: string): DrawnRecord[] {
  const parsed = z.union([z.array(recordShape), recordShape.transform(record => [record])]).safeParse(parseJson(file, text))
  if (parsed.success) return parsed.data
  throw new Error(`${file} holds no records of the bench: ${z.prettifyError(parsed.error)}`)
}

function parseJson (file: string, text: string): unknown {
  try {
    return JSON.parse(text)
  } catch (error) {
    throw new Error(`${file} is not JSON: ${(error as Error).message}`)
  }
}
