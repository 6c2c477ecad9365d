"""A table of the store in memory, whose calls can be made to fail."""

from parsleyrudder import FeedGapError, FeedPage, Row, TableError


class Feed:
    """A table in memory; the next calls fail as often as ``failures`` says."""

    def __init__(self, failures=0):
        self.failures = failures
        self.rows: dict[str, Row] = {}
        self.removed: dict[str, int] = {}
        self.revision = 1
        self.era = 1
        self.puts = 0
        self.reads = 0
        self.rows_returned = 0
        self.has_gap = False

    def come_back_from_copy(self, revision):
        """Lose what was written after a revision; revisions are given out again."""
        self.rows = {key: row for key, row in self.rows.items() if row.revision <= revision}
        self.revision = revision
        self.era += 1

    def _fails(self):
        self.failures -= 1
        return self.failures >= 0

    def read(self, table, done):
        self.reads += 1
        if self._fails():
            done(TableError("away", "retry"))
        else:
            self.rows_returned += len(self.rows)
            done(FeedPage(list(self.rows.values()), {}, self.revision, 0.0, self.era))

    def changes(self, table, after, wait_s, done):
        self.reads += 1
        if self._fails():
            done(TableError("away", "retry"))
            return
        if self.has_gap:
            done(FeedGapError("gap", "read the whole table"))
            return
        rows = [row for row in self.rows.values() if row.revision > after]
        self.rows_returned += len(rows)
        removed = {key: at for key, at in self.removed.items() if at > after}
        done(FeedPage(rows, removed, self.revision, 0.0, self.era))

    def put(self, table, key, value, done):
        self.puts += 1
        if self._fails():
            done(TableError("away", "retry"))
        else:
            self.revision += 1
            self.rows[key] = Row(key, value, self.revision)
            self.removed.pop(key, None)
            done(True)

    def remove_all(self, table, keys, done):
        if self._fails():
            done(TableError("away", "retry"))
            return
        self.revision += 1
        for key in keys:
            if self.rows.pop(key, None) is not None:
                self.removed[key] = self.revision
        done(True)


class RouterFeed:
    """The table as one router reaches it; while it is cut off, its calls fail.

    :param is_cut_off: returns whether the router is cut off from the store.
    """

    def __init__(self, feed, is_cut_off):
        self._feed = feed
        self._is_cut_off = is_cut_off

    def __getattr__(self, name):
        return _fail if self._is_cut_off() else getattr(self._feed, name)


def _fail(*args):
    args[-1](TableError("cut off", "retry"))
