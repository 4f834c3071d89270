package org.plantainloom.program.slopes;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import org.apache.commons.math3.stat.regression.SimpleRegression;
import org.plantainloom.protocol.Json;

/** Fits each cost of each process role by linear regression over the number of workers. */
final class CostRegression {
  private CostRegression() {}

  private enum Cost {
    CPU_PERCENT {
      @Override
      double of(CostSample sample) {
        return sample.cpuPercent();
      }
    },
    RSS_MB {
      @Override
      double of(CostSample sample) {
        return sample.rssMb();
      }
    },
    WIRE_KB_PER_SECOND {
      @Override
      double of(CostSample sample) {
        return sample.wireKbPerSecond();
      }
    },
    STORE_READS_PER_SECOND {
      @Override
      double of(CostSample sample) {
        return sample.storeReads();
      }
    },
    STORE_WRITES_PER_SECOND {
      @Override
      double of(CostSample sample) {
        return sample.storeWrites();
      }
    };

    abstract double of(CostSample sample);
  }

  static void print(PrintStream out, Path file) throws IOException {
    Map<String, List<CostSample>> byRole = new TreeMap<>();
    for (String line : Files.readAllLines(file)) {
      CostSample sample = Json.read(line, CostSample.class);
      byRole.computeIfAbsent(sample.role(), r -> new ArrayList<>()).add(sample);
    }
    out.printf(
        "machine: %d cores, %s, Java %s%n",
        Runtime.getRuntime().availableProcessors(),
        System.getProperty("os.arch"),
        System.getProperty("java.version"));
    out.printf("%-18s %-24s %10s %14s %10s%n", "ROLE", "COST", "AT 0", "PER WORKER", "RESIDUAL");
    byRole.forEach(
        (role, samples) -> {
          for (Cost cost : Cost.values()) {
            printLine(out, role, cost, samples);
          }
        });
  }

  private static void printLine(PrintStream out, String role, Cost cost, List<CostSample> samples) {
    SimpleRegression regression = new SimpleRegression();
    samples.forEach(s -> regression.addData(s.workers(), cost.of(s)));
    out.printf(
        "%-18s %-24s %10.3f %14.5f %10.3f%n",
        role,
        cost.name().toLowerCase(Locale.ROOT),
        regression.getIntercept(),
        regression.getSlope(),
        Math.sqrt(regression.getMeanSquareError()));
  }
}
