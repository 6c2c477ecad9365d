"""A table of the store in memory, whose calls can be made to fail."""

from parsleyrudder import FeedPage, Row, TableError


class Feed:
    """A table in memory; the next calls fail as often as ``failures`` says."""

    def __init__(self, failures=0):
        self.failures = failures
        self.rows: dict[str, Row] = {}
        self.puts = 0
        self.reads = 0

    def _fails(self):
        self.failures -= 1
        return self.failures >= 0

    def read(self, table, done):
        self.reads += 1
        if self._fails():
            done(TableError("away", "retry"))
        else:
            done(FeedPage(list(self.rows.values()), {}, 1, 0.0))

    def put(self, table, key, value, done):
        self.puts += 1
        if self._fails():
            done(TableError("away", "retry"))
        else:
            self.rows[key] = Row(key, value, 1)
            done(True)

    def remove_all(self, table, keys, done):
        if self._fails():
            done(TableError("away", "retry"))
            return
        for key in keys:
            self.rows.pop(key, None)
        done(True)
