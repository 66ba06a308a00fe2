// Deaths of servers as peers tell each other of them, and their conversion to and from protobuf.
import { create } from '@bufbuild/protobuf'
import { CrashReportSchema, type CrashReport as WireReport } from './generated/siskinbeam/peer/v1/peer_pb.js'

const maximumSuspects = 64
const maximumDeaths = 32
const longestName = 130
const longestKey = 2 * longestName

/** A death of a boot of a server, with its age. */
export interface ReportedDeath {
  server: string
  boot: string
  agoMilliseconds: number
}

/** What one host tells another about deaths of servers. */
export interface CrashReport {
  suspects: Array<{
    fingerprint: string
    deaths: Array<ReportedDeath & { requestAgeMilliseconds: number }>
    clearedDeaths: string[]
    succeededBefore: boolean
  }>
  serverDeaths: ReportedDeath[]
}

/** Converts a report to protobuf; an empty one is left out. Lists that exceed their bound are cut. */
export function packCrashReport ({ suspects, serverDeaths }: CrashReport): WireReport | undefined {
  if (suspects.length === 0 && serverDeaths.length === 0) return undefined
  return create(CrashReportSchema, {
    suspects: suspects.slice(0, maximumSuspects).map(suspect => ({
      ...suspect,
      deaths: suspect.deaths.slice(0, maximumDeaths).map(({ server, boot, agoMilliseconds, requestAgeMilliseconds }) =>
        ({ server, boot, ageMilliseconds: packAge(agoMilliseconds), requestAgeMilliseconds: packAge(requestAgeMilliseconds) })),
      clearedDeaths: suspect.clearedDeaths.slice(0, maximumDeaths)
    })),
    serverDeaths: serverDeaths.slice(0, maximumDeaths).map(({ server, boot, agoMilliseconds }) => ({ server, boot, ageMilliseconds: packAge(agoMilliseconds) }))
  })
}

/** Converts a received report. Throws a RangeError that names the field. */
export function unpackCrashReport (wire: WireReport | undefined): CrashReport {
  if (wire === undefined) return { suspects: [], serverDeaths: [] }
  checkLength('suspects', wire.suspects, maximumSuspects)
  checkLength('server_deaths', wire.serverDeaths, maximumDeaths)
  return {
    suspects: wire.suspects.map(suspect => {
      checkLength('deaths', suspect.deaths, maximumDeaths)
      checkLength('cleared_deaths', suspect.clearedDeaths, maximumDeaths)
      return {
        fingerprint: checkText('fingerprint', suspect.fingerprint, longestName),
        deaths: suspect.deaths.map(death => ({ ...unpackDeath(death), requestAgeMilliseconds: death.requestAgeMilliseconds })),
        clearedDeaths: suspect.clearedDeaths.map(key => checkText('cleared_deaths', key, longestKey)),
        succeededBefore: suspect.succeededBefore
      }
    }),
    serverDeaths: wire.serverDeaths.map(unpackDeath)
  }
}

function unpackDeath ({ server, boot, ageMilliseconds }: { server: string, boot: string, ageMilliseconds: number }): ReportedDeath {
  return { server: checkText('server', server, longestName), boot: checkText('boot', boot, longestName), agoMilliseconds: ageMilliseconds }
}

function packAge (milliseconds: number): number {
  return Math.min(Math.max(Math.round(milliseconds), 0), 0xffff_ffff)
}

function checkLength (field: string, list: unknown[], longest: number): void {
  if (list.length > longest) throw new RangeError(field)
}

function checkText (field: string, text: string, longest: number): string {
  if (text.length > longest) throw new RangeError(field)
  return text
}
